package requests

import _ "cuminshift/internal/fixedseed"
