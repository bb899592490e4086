package server

import "strings"

// unusableDepth exceeds the depth to which encoding/json decodes.
const unusableDepth = 20_000

// UnusableEntries are entries that another writer may store among those of the servers:
// nested too deeply, with a port or a number out of range, or without a port.
var UnusableEntries = []string{
	strings.Repeat("[", unusableDepth) + strings.Repeat("]", unusableDepth),
	`{"service":"campo","address":"127.0.0.1:65536","zone":"norte","max_concurrency":3,"state":"ready"}`,
	`{"service":"campo","address":"127.0.0.1:80","zone":"norte","max_concurrency":1e400,"state":"ready"}`,
	`{"service":"campo","address":"127.0.0.1:0","zone":"norte","max_concurrency":3,"state":"ready"}`,
	`{"service":"campo","address":"127.0.0.1:80","zone":"norte","max_concurrency":9223372036854775807,"state":"ready"}`,
	strings.Repeat("9", unusableDepth),
}
