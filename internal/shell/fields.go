package shell

// Log field names.
const (
	logPeer     = "peer"
	logServer   = "server"
	logPath     = "path"
	logInstance = "instance"
	logAddress  = "address"
	logVersion  = "version"
	logCause    = "cause"
	logOperator = "operator"
)
