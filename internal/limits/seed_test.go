package limits

import _ "cuminshift/internal/fixedseed"
