package membership_test

import _ "cuminshift/internal/fixedseed"
