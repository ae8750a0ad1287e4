// Package console is the operators' HTTP side of a dispatcher: /control/ready, /control/counters, executors taken
// out and back, out of service and in service. It carries out what service.Desk decides, keeps the bans in a file
// that the next version reads, and writes the figures in statsd form under edge_router.
//
// It owns its own listener and server, never behind the clients' path, and must never block an answer on the core
// for long: every call is owed an answer within a second.
package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"oakthread"
	"oakthread/admin"
	"oakthread/balancer"
	"oakthread/internal/neterr"
)

const (
	headTime  = 400 * time.Millisecond // a caller that sends no whole call by then is closed: answers are owed in 1 s
	writeTime = 900 * time.Millisecond
	askCore   = 250 * time.Millisecond // the core's counters are taken from the last look past this
	lookFile  = 200 * time.Millisecond // how often the file of bans is read for another process's changes
	Prefix    = "edge_router"
)

// Figures are what /control/counters tells beside the classes' counts.
type Figures struct {
	Attempts       int64 // written whole to executors
	Pending        int64
	Reloads, Fails int64               // files taken and turned down at SIGHUP
	Ejected        []balancer.WorkerID // executors that the module avoids by its own choice
	Stale          bool                // the core did not answer in time: Attempts and Ejected are not known
}

// Sources are what the console reads and steers. All fields are needed.
type Sources struct {
	CoreReady func() bool
	Tell      func(oakthread.EndpointUpdate)              // the core's news of the list
	Figures   func(ctx context.Context) Figures           // may block; bounded by ctx
	Tally     func(fn func(class string, c, r, f int64))  // answers by class
	Quiet     func(on bool)                               // out of service: close idle client connections
	Verdicts  func(ctx context.Context) ([]Verdict, bool) // bounded by ctx; false: the core did not answer in time
}

// Verdict is what the dispatcher holds of one executor, as /control/verdicts tells it.
type Verdict struct {
	Executor  balancer.WorkerID `json:"executor"` // as the log names it
	Zone      int               `json:"zone"`
	Verdict   string            `json:"verdict"` // well, suspect, left out, on trial
	Evidence  string            `json:"evidence"`
	Served    float64           `json:"served_lately"` // own calls, decaying
	Failed    float64           `json:"failed_latest"` // part of own latest calls
	Pace      float64           `json:"pace"`          // time of its calls in the mean of all
	Observers [2]int            `json:"observers"`     // of the last word: served, not served
	WordAgeMS int64             `json:"word_age_ms"`   // -1: no word
	TrialInMS int64             `json:"trial_in_ms"`   // 0: none is due
	Unreached bool              `json:"unreachable"`   // from here
}

// Console holds the desk, its file and its server. Make it with New.
type Console struct {
	src  Sources
	path string // of the bans; "" keeps none
	log  *slog.Logger
	ids  func(string) balancer.WorkerID

	mu   sync.Mutex
	desk admin.State
	seen []byte // the file as last read or written
	last Figures
}

// New makes a console whose bans are kept at path ("" for none), read once here. ids maps the list's executor ids
// to the module's.
func New(src Sources, path string, ids func(string) balancer.WorkerID, log *slog.Logger) *Console {
	c := &Console{src: src, path: path, log: log, ids: ids}
	c.mu.Lock()
	c.readFile()
	c.mu.Unlock()
	return c
}

// BanFile is where the bans of the dispatcher listening at listen are kept: in dir, shared with the next version.
func BanFile(dir, listen string) string {
	name := strings.NewReplacer(":", "_", "/", "_", "[", "", "]", "").Replace(listen)
	return filepath.Join(dir, "oakthread-bans-"+name+".json")
}

// Listed passes news of the list through the desk to the core.
func (c *Console) Listed(r oakthread.EndpointUpdate) {
	c.mu.Lock()
	told := c.desk.UpdateEndpoints(r)
	c.mu.Unlock()
	c.src.Tell(told)
}

// Ready tells whether the front may send clients.
func (c *Console) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.desk.Ready(c.src.CoreReady())
}

// Handler serves the console's calls.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", c.ready)
	mux.HandleFunc("GET /control/counters", c.counters)
	mux.HandleFunc("GET /control/verdicts", c.verdicts)
	mux.HandleFunc("POST /control/executors/{id}/offline", c.executor(true))
	mux.HandleFunc("POST /control/executors/{id}/online", c.executor(false))
	mux.HandleFunc("POST /control/out-of-service", c.service(true))
	mux.HandleFunc("POST /control/in-service", c.service(false))
	return mux
}

// Serve answers on ln until ctx ends, and keeps reading the file of bans for another process's changes.
func (c *Console) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: c.Handler(), ReadHeaderTimeout: headTime, ReadTimeout: headTime + 100*time.Millisecond,
		WriteTimeout: writeTime, IdleTimeout: headTime, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelWarn)}
	srv.SetKeepAlivesEnabled(false) // one call a connection
	go c.follow(ctx)
	go func() { <-ctx.Done(); _ = srv.Close() }()
	if err := srv.Serve(neterr.NewListener(ln, c.log)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

func (c *Console) ready(w http.ResponseWriter, _ *http.Request) {
	if !c.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (c *Console) executor(out bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw := r.PathValue("id")
		id := c.ids(raw)
		c.mu.Lock()
		var news oakthread.EndpointUpdate
		var ok bool
		if out {
			news, ok = c.desk.Eject(id)
		} else {
			news, ok = c.desk.Restore(id, time.Now())
		}
		if ok {
			c.writeFile()
		}
		c.mu.Unlock()
		if !ok {
			http.Error(w, fmt.Sprintf("executor %q is not known", raw), http.StatusNotFound)
			return
		}
		if len(news.Endpoints) > 0 {
			c.src.Tell(news)
		}
		c.log.Info("console: executor", "id", raw, "offline", out)
		_, _ = w.Write([]byte("ok\n"))
	}
}

func (c *Console) service(out bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		if out {
			c.desk.OutOfService()
		} else {
			c.desk.InService()
		}
		c.mu.Unlock()
		c.src.Quiet(out)
		c.log.Info("console: service", "out", out)
		_, _ = w.Write([]byte("ok\n"))
	}
}

func (c *Console) counters(w http.ResponseWriter, r *http.Request) {
	ctx, done := context.WithTimeout(r.Context(), askCore)
	n := c.src.Figures(ctx)
	done()
	c.mu.Lock()
	if n.Stale { // the core was slow: the last look, which lags by less than the bench allows
		n.Attempts, n.Ejected = c.last.Attempts, c.last.Ejected
	}
	c.last = n
	listed, unavailable := c.desk.Members(n.Ejected)
	c.mu.Unlock()
	var b strings.Builder
	type row struct {
		name    string
		c, r, f int64
	}
	var rows []row
	c.src.Tally(func(class string, cc, rr, ff int64) { rows = append(rows, row{class, cc, rr, ff}) })
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.name, b.name) })
	for _, x := range rows {
		fmt.Fprintf(&b, "%s.completed.%s:%d|c\n%s.rejected.%s:%d|c\n%s.failed.%s:%d|c\n", Prefix, x.name, x.c,
			Prefix, x.name, x.r, Prefix, x.name, x.f)
	}
	fmt.Fprintf(&b, "%s.upstream_requests:%d|c\n", Prefix, n.Attempts)
	fmt.Fprintf(&b, "%s.pending:%d|g\n%s.members:%d|g\n%s.members_unavailable:%d|g\n", Prefix, n.Pending, Prefix, listed,
		Prefix, unavailable)
	fmt.Fprintf(&b, "%s.config_reloads:%d|g\n%s.config_reload_errors:%d|g\n", Prefix, n.Reloads, Prefix, n.Fails)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(b.String()))
}

// verdicts tells what is held of each executor, as JSON.
func (c *Console) verdicts(w http.ResponseWriter, r *http.Request) {
	ctx, done := context.WithTimeout(r.Context(), askCore)
	defer done()
	rows, ok := c.src.Verdicts(ctx)
	if !ok {
		http.Error(w, "the dispatcher is busy; ask again", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}

// follow reads the file of bans whenever another process has changed it, until ctx ends.
func (c *Console) follow(ctx context.Context) {
	if c.path == "" {
		return
	}
	t := time.NewTicker(lookFile)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.mu.Lock()
		news := c.readFile()
		c.mu.Unlock()
		if len(news.Endpoints) > 0 {
			c.src.Tell(news)
		}
	}
}

type banFile struct {
	Banned []uint32 `json:"banned"`
}

// readFile takes the bans that the file holds where it changed since last seen; the caller holds mu.
func (c *Console) readFile() (news oakthread.EndpointUpdate) {
	if c.path == "" {
		return news
	}
	raw, err := os.ReadFile(c.path)
	if err != nil || bytes.Equal(raw, c.seen) {
		return news
	}
	c.seen = raw // a file that cannot be read is told of once
	var f banFile
	if err := json.Unmarshal(raw, &f); err != nil {
		c.log.Error("console: file of bans not read", "path", c.path, "err", err)
		return news
	}
	kept := make([]balancer.WorkerID, 0, len(f.Banned))
	for _, id := range f.Banned {
		kept = append(kept, balancer.WorkerID(id))
	}
	return c.desk.Keep(kept, time.Now())
}

// writeFile keeps the bans in force for the next version; the caller holds mu.
func (c *Console) writeFile() {
	if c.path == "" {
		return
	}
	var f banFile
	for _, id := range c.desk.Banned() {
		f.Banned = append(f.Banned, uint32(id))
	}
	raw, _ := json.Marshal(f)
	tmp := c.path + ".new." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(tmp, raw, 0o600); err != nil {
		c.log.Error("console: bans not kept", "path", c.path, "err", err)
		return
	}
	if err := os.Rename(tmp, c.path); err != nil {
		c.log.Error("console: bans not kept", "path", c.path, "err", err)
		return
	}
	c.seen = raw
}
