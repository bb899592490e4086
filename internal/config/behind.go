package config

// Behind reports whether a peer or the store has named a newer version than
// the one held.
func (h *Holder) Behind() bool {
	return h.behind()
}
