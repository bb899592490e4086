package config

// Behind reports whether a peer or the store has a version newer than the current
// one.
func (r *Replica) Behind() bool {
	return r.behind()
}
