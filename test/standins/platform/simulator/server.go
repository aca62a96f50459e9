package simulator

import (
	"net"
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// Server serves a handler on an address. While it is closed, connections to the
// address are refused. Set the exported fields before use.
type Server struct {
	Address string
	Handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

// Open starts to listen; an open server stays open.
func (s *Server) Open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	// Keeps the port of an address that left the choice to the system.
	s.Address = listener.Addr().String()
	s.server = &http.Server{Handler: s.Handler}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	return nil
}

// Close stops listening and cuts all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return nil
	}
	err := s.server.Close()
	s.server = nil
	return err
}

func (p *Platform) listen(change func(*Server) error) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if p.Server == nil {
			http.Error(w, "the platform has no listener of its own", http.StatusNotFound)
			return
		}
		if err := change(p.Server); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	}
}
