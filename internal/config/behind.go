package config

// Behind reports whether a peer or the store has named a newer version than
// the one held.
func (r *Replica) Behind() bool {
	return r.behind()
}
