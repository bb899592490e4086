package flowtable

import _ "cuminshift/internal/fixedseed"
