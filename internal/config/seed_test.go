package config

import _ "cuminshift/internal/fixedseed"
