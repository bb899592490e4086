package shell

// Names of log fields.
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
