package admission

import _ "cuminshift/internal/fixedseed"
