package packet

import _ "cuminshift/internal/fixedseed"
