package adminapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"oakthread"
	"oakthread/admin"
	"oakthread/balancer"
	"oakthread/internal/neterr"
)

// Timeouts and limits of the server. Every request must be answered within a second, so a client
// that has not sent a complete request is disconnected well before that.
const (
	readHeaderTimeout = 400 * time.Millisecond
	readTimeout       = 500 * time.Millisecond
	writeTimeout      = 900 * time.Millisecond
	coreTimeout       = 250 * time.Millisecond // for a query to the core
	maxHeaderBytes    = 8 << 10
)

// Sources are the parts of the dispatcher that the API reads and controls. All fields are required.
type Sources struct {
	// CoreReady reports whether the core has received an endpoint list.
	CoreReady func() bool
	// UpdateEndpoints passes an update of the endpoint list to the core.
	UpdateEndpoints func(oakthread.EndpointUpdate)
	// Counters returns the counters of the dispatcher. It may block until ctx is done.
	Counters func(ctx context.Context) Counters
	// ForEachClass calls fn with the completed, rejected and failed calls of each class.
	ForEachClass func(fn func(class string, completed, rejected, failed int64))
	// SetOutOfService is called with true when the dispatcher is taken out of service, and with false
	// when it is put back. While out of service, the dispatcher keeps no idle client connections.
	SetOutOfService func(outOfService bool)
	// WorkerHealth returns the health of the workers. It returns false if the core did not respond
	// before ctx was done.
	WorkerHealth func(ctx context.Context) ([]WorkerHealth, bool)
}

// Server is the admin API of a dispatcher. It applies the operators' decisions to the endpoint list
// and the readiness, and stores the ids of workers taken offline in the ban file.
type Server struct {
	sources  Sources
	workerID func(string) balancer.WorkerID // maps the id of a worker in the endpoint list
	log      *slog.Logger

	mu           sync.Mutex
	state        admin.State
	bans         banFile
	unsaved      admin.Decisions // in force, but not in the ban file yet
	banLogLimit  neterr.LogLimit
	lastCounters Counters
}

// New returns a Server. The ids of workers that operators have taken offline are read from and
// written to the file banPath; if it is empty, they are not stored. workerID maps the id of a worker
// in the endpoint list to the dispatcher's.
func New(sources Sources, banPath string, workerID func(string) balancer.WorkerID, log *slog.Logger) *Server {
	s := &Server{
		sources: sources, workerID: workerID, log: log,
		bans: banFile{path: banPath}, unsaved: admin.Decisions{},
	}
	s.reloadBans() // the core has no endpoints yet, so there is no update to pass on
	return s
}

// UpdateEndpoints applies the operators' decisions to an update of the endpoint list and passes it to
// the core.
func (s *Server) UpdateEndpoints(update oakthread.EndpointUpdate) {
	s.mu.Lock()
	effective := s.state.UpdateEndpoints(update)
	s.mu.Unlock()
	s.sources.UpdateEndpoints(effective)
}

// Ready reports whether the dispatcher accepts calls: it is in service and the core is ready.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Ready(s.sources.CoreReady())
}

// Handler returns the handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", s.handleReady)
	mux.HandleFunc("GET /control/counters", s.handleCounters)
	mux.HandleFunc("GET /control/verdicts", s.handleWorkerHealth)
	mux.HandleFunc("POST /control/executors/{id}/offline", s.handleOffline)
	mux.HandleFunc("POST /control/executors/{id}/online", s.handleOnline)
	mux.HandleFunc("POST /control/out-of-service", s.handleOutOfService)
	mux.HandleFunc("POST /control/in-service", s.handleInService)
	return mux
}

// Serve serves the API on ln until ctx is done, and applies changes that another process makes to
// the ban file. If ln fails, it returns the error, and those changes are still applied until ctx is
// done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	}
	server.SetKeepAlivesEnabled(false) // an idle client does not hold a connection
	var watching sync.WaitGroup
	watching.Go(func() { s.watchBans(ctx) })
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(neterr.NewListener(ln, s.log))
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	watching.Wait()
	return nil
}
