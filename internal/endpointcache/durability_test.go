package endpointcache

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/endpoints"
)

const (
	// writerEnv names a file. It makes the test binary write lists to the file until it is killed.
	writerEnv = "OAKTHREAD_KEPT_WRITER"

	// fullDiskEnv names a file. It makes the test binary write a list to the file that exceeds a
	// limit on file sizes, and another one after the limit is lifted.
	fullDiskEnv = "OAKTHREAD_KEPT_FULL"

	pageSize = 4096
)

func TestMain(m *testing.M) {
	if path := os.Getenv(fullDiskEnv); path != "" {
		panicOnError(writeToFullDisk(path))
		return
	}
	if path := os.Getenv(writerEnv); path != "" {
		panicOnError(writeUntilKilled(path))
		return
	}
	os.Exit(m.Run())
}

// panicOnError panics on an error in a child process, so that its parent sees a failure.
func panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}

// writeToFullDisk writes under a limit on file sizes and without it, and prints the results.
func writeToFullDisk(path string) error {
	signal.Ignore(syscall.SIGXFSZ)
	store, _, err := Open(path, "d1")
	if err != nil {
		return err
	}
	if err := store.Write(sample(20)); err != nil {
		return err
	}
	var original syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &original); err != nil {
		return err
	}
	lowered := original
	lowered.Cur = 128 << 10
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &lowered); err != nil {
		return err
	}
	fmt.Println("too long:", store.Write(sample(20_000)) != nil)
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &original); err != nil {
		return err
	}
	fmt.Println("short:", store.Write(sample(30)))
	fmt.Println("closed:", store.Close())
	return nil
}

// writeUntilKilled writes lists in which the cursor and the Cell of every endpoint are the number
// of the write.
func writeUntilKilled(path string) error {
	store, _, err := Open(path, "d1")
	if err != nil {
		return err
	}
	for n := 0; ; n++ {
		snapshot := sample(50)
		snapshot.Cursor = int64(n)
		for i := range snapshot.Endpoints {
			snapshot.Endpoints[i].Cell = n
		}
		if err := store.Write(snapshot); err != nil {
			return err
		}
		if n == 0 {
			if _, err := os.Stdout.WriteString("writing\n"); err != nil {
				return err
			}
		}
	}
}

// damage returns a copy of a file with one fault: a flipped bit, a truncation, or a page of random
// bytes or zeros.
func damage(rng *rand.Rand, kind int, file []byte) []byte {
	damaged := append([]byte(nil), file...)
	switch kind % 4 {
	case 0:
		damaged[rng.IntN(len(damaged))] ^= 1 << rng.IntN(8)
	case 1:
		damaged = damaged[:rng.IntN(len(damaged))]
	case 2:
		at := rng.IntN(len(damaged)/pageSize) * pageSize
		for i := range pageSize {
			damaged[at+i] = byte(rng.Uint32())
		}
	case 3:
		at := rng.IntN(len(damaged)/pageSize) * pageSize
		clear(damaged[at : at+pageSize])
	}
	return damaged
}

// Opening a damaged file returns intact records only, or none. The next list is written, or the
// write fails with ErrDamaged. 400 files are tested, each with a random fault.
func TestDamagedFiles(t *testing.T) {
	intact, err := os.ReadFile(writeSample(t, 40))
	require.NoError(t, err)
	want := map[balancer.WorkerID]endpoints.Endpoint{}
	for _, endpoint := range sample(40).Endpoints {
		want[endpoint.ID] = endpoint
	}
	rng := rand.New(rand.NewPCG(1, 2))
	path := filepath.Join(t.TempDir(), "list.db")
	replaced := 0
	for i := range 400 {
		require.NoError(t, os.WriteFile(path, damage(rng, i, intact), 0o600))
		if useDamagedFile(t, path, want) {
			replaced++
		}
		require.NoError(t, os.RemoveAll(path))
	}
	assert.Positive(t, replaced)
}

// useDamagedFile opens a damaged file and writes to it, and reports whether Open replaced it.
func useDamagedFile(t *testing.T, path string, want map[balancer.WorkerID]endpoints.Endpoint) (replaced bool) {
	t.Helper()
	store, found, err := Open(path, "d1")
	if err != nil && store == nil { // without a Store there is nothing to write to
		assert.NotContains(t, err.Error(), "\n")
		return false
	}
	if err != nil {
		require.ErrorIs(t, err, ErrDamaged)
		assert.FileExists(t, path+".damaged")
		replaced = true
	}
	for _, endpoint := range found.Snapshot.Endpoints {
		assert.Equal(t, want[endpoint.ID], endpoint, "only valid records")
	}
	if err := store.Write(sample(5)); err != nil {
		require.ErrorIs(t, err, ErrDamaged)
		_ = store.Close()
		return replaced
	}
	require.NoError(t, store.Close())
	found, err = Read(path, "d1")
	require.NoError(t, err)
	assert.Len(t, found.Snapshot.Endpoints, 5)
	return replaced
}

// The file holds one complete list, no matter when its writer is killed.
func TestKilledWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	rng := rand.New(rand.NewPCG(3, 4))
	for range 12 {
		cmd := exec.CommandContext(t.Context(), os.Args[0])
		cmd.Env = append(os.Environ(), writerEnv+"="+path)
		out, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		_, err = out.Read(make([]byte, 8))
		require.NoError(t, err)
		<-time.After(time.Duration(rng.IntN(40)) * time.Millisecond) // kill after a random time
		require.NoError(t, cmd.Process.Kill())
		_ = cmd.Wait()
		found, err := Read(path, "d1")
		require.NoError(t, err)
		require.Len(t, found.Snapshot.Endpoints, 50)
		for _, endpoint := range found.Snapshot.Endpoints {
			assert.Equal(t, int(found.Snapshot.Cursor), endpoint.Cell)
		}
	}
}

// On a full disk the write fails and the file stays valid. The next list is written once there is
// space.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), fullDiskEnv+"="+path)
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Equal(t, "too long: true\nshort: <nil>\nclosed: <nil>\n", string(out))
	found, err := Read(path, "d1")
	require.NoError(t, err)
	assert.Len(t, found.Snapshot.Endpoints, 30)
}
