package endpointcache

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread"
	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache/keptpb"
)

var t0 = time.Unix(1_800_000_000, 0)

func sample(n int) endpoints.Snapshot {
	k := endpoints.Snapshot{Epoch: "e1", Cursor: 41, Confirmed: t0, Saved: t0.Add(time.Second),
		History: endpoints.History{Watched: 90 * time.Hour, Leaves: 3, Returns: 1, Events: []endpoints.Event{{At: t0, Worker: 9, What: endpoints.Left}}}}
	for i := range n {
		k.Endpoints = append(k.Endpoints, endpoints.Endpoint{ID: balancer.WorkerID(i + 1), Addr: fmt.Sprint("127.0.0.1:", 1+i%60000), Zone: 1, Cell: 2, State: balancer.Active, Weight: 2,
			Start: t0.Add(-time.Hour), UpdatedAt: t0, VerifiedAt: t0, RequestRate: 4.5})
	}
	return k
}

func written(t *testing.T, n int) (path string) {
	path = filepath.Join(t.TempDir(), "list.db")
	s, found, err := Open(path, "d1")
	require.NoError(t, err)
	assert.True(t, found.None)
	require.NoError(t, s.Write(sample(n)))
	require.NoError(t, s.Close())
	return path
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	path := written(t, 3)
	f, err := Read(path, "d1")
	require.NoError(t, err)
	assert.Equal(t, Found{Kept: sample(3), Owner: "d1", Schema: Schema}, f)

	s, _, err := Open(path, "d1")
	require.NoError(t, err)
	less := sample(2)
	less.History.Events = nil
	require.NoError(t, s.Write(less))
	require.NoError(t, s.Close())
	f, err = Read(path, "d1")
	require.NoError(t, err)
	assert.Len(t, f.Kept.Endpoints, 2, "what left the list leaves the file")
	assert.Empty(t, f.Kept.History.Events)
	wrong, err := Check(path)
	require.NoError(t, err)
	assert.Empty(t, wrong)
}

// Guards against use of a file that is not ours or not readable by us: it stays as it is.
func TestFilesThatAreNotOurs(t *testing.T) {
	path := written(t, 1)
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	_, found, err := Open(path, "d2")
	require.ErrorIs(t, err, ErrOwner)
	assert.True(t, found.None)
	assert.ErrorContains(t, err, `"d1", not "d2"`)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(before, after))

	s, _, err := Open(path, "d1")
	require.NoError(t, err)
	_, _, err = Open(path, "d1")
	require.ErrorIs(t, err, ErrInUse)
	f, err := Snapshot(path)
	require.NoError(t, err, "reading beside a running dispatcher")
	assert.Len(t, f.Kept.Endpoints, 1)
	require.NoError(t, s.Close())

	head(t, path, func(h *keptpb.Head) { h.Schema = Schema + 1 })
	_, _, err = Open(path, "d1")
	require.ErrorIs(t, err, ErrSchema)
	head(t, path, func(h *keptpb.Head) { h.Schema = 1 })
	s, found, err = Open(path, "d1")
	require.NoError(t, err, "an older one is read")
	assert.Equal(t, 1, found.Schema)
	require.NoError(t, s.Write(found.Kept))
	require.NoError(t, s.Close())
	f, err = Read(path, "d1")
	require.NoError(t, err)
	assert.Equal(t, Schema, f.Schema, "and written anew")

	dir := filepath.Join(t.TempDir(), "a-file")
	require.NoError(t, os.WriteFile(dir, nil, 0o600))
	_, _, err = Open(filepath.Join(dir, "list.db"), "d1")
	require.Error(t, err, "a path that cannot be made")
	_, err = Read(filepath.Join(t.TempDir(), "none.db"), "")
	require.Error(t, err)
}

func head(t *testing.T, path string, change func(*keptpb.Head)) {
	raw(t, path, func(tx *bbolt.Tx) error {
		var h keptpb.Head
		b := tx.Bucket(headBucket)
		require.True(t, unsealRecord(b.Get(headKey), &h))
		change(&h)
		sealed, err := sealRecord(&h)
		require.NoError(t, err)
		return b.Put(headKey, sealed)
	})
}

func raw(t *testing.T, path string, change func(*bbolt.Tx) error) {
	db, err := bbolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(change))
	require.NoError(t, db.Close())
}

// Guards against a flipped bit in a record: the record is left out, the rest is used.
func TestAnUnsoundRecordIsLeftOut(t *testing.T) {
	path := written(t, 3)
	raw(t, path, func(tx *bbolt.Tx) error {
		b := tx.Bucket(endpointBucket)
		v := append([]byte(nil), b.Get([]byte{0, 0, 0, 2})...)
		v[9] ^= 4
		return b.Put([]byte{0, 0, 0, 2}, v)
	})
	s, found, err := Open(path, "d1")
	require.NoError(t, err)
	require.NoError(t, s.Close())
	assert.Equal(t, 1, found.Unsound)
	assert.Len(t, found.Kept.Endpoints, 2)
	wrong, err := Check(path)
	require.NoError(t, err)
	assert.Equal(t, []string{"1 records fail their checksum"}, wrong)
}

// Guards against torn and flipped pages anywhere in the file: whatever they are, the start goes on, with sound records or
// with none, and the next list can be written. 400 files are damaged, each in its own way.
func TestDamagedFiles(t *testing.T) {
	whole, err := os.ReadFile(written(t, 40))
	require.NoError(t, err)
	want := map[balancer.WorkerID]endpoints.Endpoint{}
	for _, b := range sample(40).Endpoints {
		want[b.ID] = b
	}
	rng := rand.New(rand.NewPCG(1, 2))
	dir := t.TempDir()
	aside := 0
	for i := range 400 {
		bad := append([]byte(nil), whole...)
		switch i % 4 {
		case 0: // one bit
			bad[rng.IntN(len(bad))] ^= 1 << rng.IntN(8)
		case 1: // cut short
			bad = bad[:rng.IntN(len(bad))]
		case 2: // a page of noise
			at := rng.IntN(len(bad)/4096) * 4096
			for j := range 4096 {
				bad[at+j] = byte(rng.Uint32())
			}
		case 3: // a page of zeros
			at := rng.IntN(len(bad)/4096) * 4096
			clear(bad[at : at+4096])
		}
		path := filepath.Join(dir, "list.db")
		require.NoError(t, os.WriteFile(path, bad, 0o600))
		s, found, err := Open(path, "d1")
		if err != nil && s == nil { // such as another owner's name by a flipped bit
			assert.NotContains(t, err.Error(), "\n")
			require.NoError(t, os.RemoveAll(path))
			continue
		}
		if err != nil {
			require.ErrorIs(t, err, ErrDamaged)
			assert.FileExists(t, path+".damaged")
			aside++
		}
		for _, b := range found.Kept.Endpoints {
			assert.Equal(t, want[b.ID], b, "only sound records")
		}
		if werr := s.Write(sample(5)); werr == nil {
			require.NoError(t, s.Close())
			f, err := Read(path, "d1")
			require.NoError(t, err)
			assert.Len(t, f.Kept.Endpoints, 5)
		} else {
			assert.ErrorIs(t, werr, ErrDamaged)
			_ = s.Close()
		}
		require.NoError(t, os.RemoveAll(path))
	}
	assert.Positive(t, aside)
}

// The test binary writes lists without end where this is set, until it is killed.
const asWriter = "OAKTHREAD_KEPT_WRITER"

// With this set it writes a list that a small limit on files does not allow, and another once there is room.
const asFull = "OAKTHREAD_KEPT_FULL"

func TestMain(m *testing.M) {
	if path := os.Getenv(asFull); path != "" {
		signal.Ignore(syscall.SIGXFSZ)
		s, _, err := Open(path, "d1")
		if err == nil {
			err = s.Write(sample(20))
		}
		if err != nil {
			panic(err)
		}
		var usual syscall.Rlimit
		err = syscall.Getrlimit(syscall.RLIMIT_FSIZE, &usual)
		small := usual
		small.Cur = 128 << 10
		if err == nil {
			err = syscall.Setrlimit(syscall.RLIMIT_FSIZE, &small)
		}
		if err != nil {
			panic(err)
		}
		fmt.Println("too long:", s.Write(sample(20_000)) != nil)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &usual); err != nil {
			panic(err)
		}
		fmt.Println("short:", s.Write(sample(30)))
		fmt.Println("closed:", s.Close())
		return
	}
	if path := os.Getenv(asWriter); path != "" {
		s, _, err := Open(path, "d1")
		if err != nil {
			panic(err)
		}
		for n := 0; ; n++ {
			k := sample(50)
			k.Cursor = int64(n)
			for i := range k.Endpoints {
				k.Endpoints[i].Cell = n // all of one write, or none
			}
			if err := s.Write(k); err != nil {
				panic(err)
			}
			if n == 0 {
				_, _ = os.Stdout.WriteString("writing\n")
			}
		}
	}
	os.Exit(m.Run())
}

// Guards against a crash in the middle of a write: the file holds one whole list, whenever the writer is killed.
func TestKilledWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	rng := rand.New(rand.NewPCG(3, 4))
	for range 12 {
		cmd := exec.CommandContext(t.Context(), os.Args[0])
		cmd.Env = append(os.Environ(), asWriter+"="+path)
		out, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		_, err = out.Read(make([]byte, 8))
		require.NoError(t, err)
		<-time.After(time.Duration(rng.IntN(40)) * time.Millisecond) // wherever it is by then
		require.NoError(t, cmd.Process.Kill())
		_ = cmd.Wait()
		f, err := Read(path, "d1")
		require.NoError(t, err)
		require.Len(t, f.Kept.Endpoints, 50)
		for _, b := range f.Kept.Endpoints {
			assert.Equal(t, int(f.Kept.Cursor), b.Cell)
		}
	}
}

// Guards against a disk that is full: the write fails, the file stays whole, and the next list is written once there is room.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), asFull+"="+path)
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Equal(t, "too long: true\nshort: <nil>\nclosed: <nil>\n", string(out))
	f, err := Read(path, "d1")
	require.NoError(t, err)
	assert.Len(t, f.Kept.Endpoints, 30)
}

func BenchmarkWrite(b *testing.B) {
	s, _, err := Open(filepath.Join(b.TempDir(), "list.db"), "d1")
	require.NoError(b, err)
	defer s.Close()
	k := sample(60)
	for n := 0; b.Loop(); n++ {
		for i := range k.Endpoints {
			k.Endpoints[i].VerifiedAt = t0.Add(time.Duration(n) * time.Second)
		}
		require.NoError(b, s.Write(k))
	}
}

func BenchmarkObserve(b *testing.B) {
	k := NewKeeper(Options{Aims: []time.Duration{time.Second}}, nil, func(oakthread.EndpointUpdate) {}, time.Now(), slog.New(slog.DiscardHandler))
	full := oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for i := range 60 {
		full.Endpoints = append(full.Endpoints, oakthread.Endpoint{ID: balancer.WorkerID(i), State: balancer.Active, Weight: 2})
	}
	k.Told(full, "", 1)
	for b.Loop() {
		k.Admit(nil)
		k.Observe(oakthread.Observation{Worker: 7, Result: balancer.OK, Warm: true, Duration: time.Millisecond})
	}
}

// boxes answers probes by address.
type boxes struct {
	mu    sync.Mutex
	asked map[balancer.WorkerID]int
	as    map[balancer.WorkerID]oakthread.Reply
}

func (b *boxes) HealthCheck(_ context.Context, m oakthread.Endpoint) oakthread.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked[m.ID]++
	return b.as[m.ID]
}

type logged struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(b)
}

func (l *logged) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.String()
}

func running(t *testing.T, o Options, as map[balancer.WorkerID]oakthread.Reply) (k *Syncer, told chan oakthread.EndpointUpdate, log *logged, end func()) {
	told, log = make(chan oakthread.EndpointUpdate, 64), &logged{}
	k = NewKeeper(o, &boxes{asked: map[balancer.WorkerID]int{}, as: as}, func(r oakthread.EndpointUpdate) { told <- r }, time.Now(),
		slog.New(slog.NewTextHandler(log, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	return k, told, log, func() { cancel(); <-done }
}

// Guards the wiring: a restart goes from the file by proofs to the core's list, and a drain is on disk at once.
func TestKeeperRestarts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	o := Options{Path: path, Owner: "d1", Roster: endpoints.Config{Siblings: 2}}
	k, told, _, end := running(t, o, nil)
	full := oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for i := 1; i <= 3; i++ {
		full.Endpoints = append(full.Endpoints, oakthread.Endpoint{ID: balancer.WorkerID(i), Addr: "127.0.0.1:91", State: balancer.Active, Weight: 2})
	}
	k.Told(full, "e1", 5)
	assert.Equal(t, full, <-told)
	drain := oakthread.EndpointUpdate{Endpoints: []oakthread.Endpoint{full.Endpoints[2]}}
	drain.Endpoints[0].State = balancer.Draining
	asked := time.Now()
	k.Told(drain, "e1", 6)
	assert.Equal(t, balancer.Draining, (<-told).Endpoints[0].State)
	for {
		f, err := readCopy(path)
		if err == nil && len(f.Kept.Endpoints) == 3 && f.Kept.Endpoints[2].State == balancer.Draining {
			break
		}
		require.Less(t, time.Since(asked), 10*time.Second)
	}
	t.Logf("a drain was on disk %v after it was told", time.Since(asked))
	end()

	k, told, log, end := running(t, o, map[balancer.WorkerID]oakthread.Reply{1: {Result: balancer.OK}, 2: {Result: balancer.ConnectFailed}, 3: {Result: balancer.OK}})
	assert.Equal(t, int64(6), k.Cursor())
	assert.Equal(t, "e1", k.Epoch())
	r := <-told
	assert.Equal(t, balancer.EndpointsCached, r.Kind)
	require.Len(t, r.Endpoints, 1)
	assert.Equal(t, balancer.WorkerID(1), r.Endpoints[0].ID)
	assert.Contains(t, log.text(), "starting from a kept list of 3 boxes")
	k.Observe(oakthread.Observation{Worker: 1, Result: balancer.ConnectFailed})
	k.Observe(oakthread.Observation{Worker: 1, Result: balancer.ConnectFailed})
	for gone := false; !gone; {
		r := <-told
		gone = r.Endpoints[0].ID == 1 && r.Endpoints[0].State == balancer.Removed
	}
	k.Current()
	for all := map[balancer.WorkerID]balancer.EndpointState{}; all[1] != balancer.Active || all[2] != balancer.Active; {
		for _, m := range (<-told).Endpoints {
			all[m.ID] = m.State
		}
	}
	assert.Len(t, k.Rows(), 3)
	end()
}

// Guards against a disk that fails: one line, service goes on, and the list is written once it can be.
func TestKeeperWithoutADisk(t *testing.T) {
	path := written(t, 1)
	held, _, err := Open(path, "d1")
	require.NoError(t, err)
	defer held.Close()
	k, told, log, end := running(t, Options{Path: path, Owner: "d1"}, nil)
	k.Told(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{{ID: 1, State: balancer.Active}}}, "", 1)
	assert.Len(t, (<-told).Endpoints, 1)
	end()
	assert.Equal(t, 1, strings.Count(log.text(), "kept list not used"))
	assert.Contains(t, log.text(), ErrInUse.Error())

	db, err := bbolt.Open(filepath.Join(t.TempDir(), "ro.db"), 0o600, nil)
	require.NoError(t, err)
	s := &Store{db: db, path: "ro.db"}
	require.NoError(t, db.Close())
	require.Error(t, s.Write(sample(1)), "a file that can no longer be written")
}

// What an end shows of a box: only what is proved.
func TestSigns(t *testing.T) {
	for r, want := range map[balancer.Result]endpoints.Observation{balancer.OK: endpoints.Answered, balancer.NotLoaded: endpoints.Answered, balancer.QueueFull: endpoints.Busy,
		balancer.ConnectFailed: endpoints.Refused, balancer.Timeout: endpoints.Silent, balancer.Error: endpoints.Broken, balancer.Reset: endpoints.Broken} {
		got, tells := Sign(r, false)
		assert.True(t, tells)
		assert.Equal(t, want, got, r)
	}
	for _, r := range []balancer.Result{balancer.Cancelled, balancer.NotSent} {
		_, tells := Sign(r, false)
		assert.False(t, tells, r)
	}
	got, _ := Sign(balancer.Error, true)
	assert.Equal(t, endpoints.Drains, got)
}
