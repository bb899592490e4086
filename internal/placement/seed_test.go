package placement

import _ "cuminshift/internal/fixedseed"
