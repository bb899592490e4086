package steering

import _ "cuminshift/internal/fixedseed"
