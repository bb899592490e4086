package lists

import _ "cuminshift/internal/fixedseed"
