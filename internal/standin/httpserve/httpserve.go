// Package httpserve runs the HTTP server of a stand-in.
package httpserve

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Server is a running HTTP server.
type Server struct {
	Addr       string
	httpServer *http.Server
}

// Start serves handler on addr until the context ends. The contexts of requests
// derive from ctx, so pending watches end with it.
func Start(ctx context.Context, addr string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: listener.Addr().String(), httpServer: &http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}}
	go func() { _ = s.httpServer.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = s.httpServer.Close() })
	return s, nil
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr }

// GetSetHandler returns a handler for a value that is read with GET and changed
// with POST, in JSON. A POST changes only the fields that its body contains: the
// body is decoded over the result of get and passed to set.
func GetSetHandler[T any](get func() T, set func(T)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := get()
		if r.Method == http.MethodPost {
			if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			set(v)
		}
		WriteJSON(w, v)
	})
}

// WriteJSON writes v as a JSON response body.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
