package lab

// The demonstration: a small fleet on loopback for newcomers.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	demoWorkers = 12
	demoRate    = 150
	demoTime    = 6 * time.Second
)

// Demo starts a stand-in discovery, a dozen workers and a dispatcher, sends some seconds of calls
// and prints their results.
func Demo(ctx context.Context, out io.Writer) error {
	figures := PlannerFigures()
	net, err := ClaimLoopbackRange()
	if err != nil {
		return err
	}
	defer net.Close()
	dir, err := os.MkdirTemp("", "oakthread-demo-*")
	if err != nil {
		return err
	}
	disc := NewDiscovery("demo")
	defer disc.Down()
	workers, err := demoFleet(net, disc, figures)
	defer func() {
		for _, worker := range workers {
			worker.Kill()
		}
	}()
	if err != nil {
		return err
	}
	dispatcher, err := WriteDispatcherFiles(DispatcherFiles{
		Dir: dir, Addr: net.Addr(1, 0, 9200), Settings: figures.Settings(0, 1), Peers: []string{net.Addr(1, 0, 9300)},
		Channel: disc.Addr(0), OperatorConfig: "[list]\npath = \"list.db\"\n\n[log]\nformat = \"text\"\n",
	})
	if err != nil {
		return err
	}
	if err := dispatcher.Start(); err != nil {
		return err
	}
	defer func() { _ = dispatcher.Kill() }()
	soon, done := context.WithTimeout(ctx, 10*time.Second)
	defer done()
	if err := dispatcher.WaitReady(soon); err != nil {
		return err
	}
	fmt.Fprintf(out, "discovery, %d boxes and a dispatcher at http://%s are up; sending %d calls a second for %v\n",
		demoWorkers, dispatcher.Addr, demoRate, demoTime)
	clients := NewClients(figures, 0, dispatcher.Addr, Load{
		Rate: demoRate, Models: 3 * demoWorkers, Zipf: 0.9, Retries: 2, Seed: uint64(time.Now().UnixNano()),
	})
	demoCalls(ctx, out, clients)
	if err := dispatcher.Stop(); err != nil {
		return fmt.Errorf("stopping the dispatcher: %w", err)
	}
	list := filepath.Join(dispatcher.Dir, "list.db")
	fmt.Fprintf(out, "configuration  %s\noperator's file  %s\nkept list  %s\nlog  %s\n"+
		"look at the list: bin/dispatcher list show %s\n", dispatcher.Config, dispatcher.OperatorFile, list,
		filepath.Join(dispatcher.Dir, "log"), list)
	return nil
}

// demoFleet starts the workers and publishes them in discovery. On error it returns the workers
// started so far.
func demoFleet(net *LoopbackRange, disc *Discovery, figures *Figures) (workers []*StubWorker, err error) {
	var listed []ListEntry
	for i := range demoWorkers {
		started := time.Now().Add(-time.Hour)
		worker, err := StartStubWorker(fmt.Sprintf("s-%08x", i+1), net.Addr(0, i, 9100), figures, started)
		if err != nil {
			return workers, err
		}
		workers = append(workers, worker)
		listed = append(listed, listing(worker, i, started))
	}
	disc.Publish(listed...)
	_, err = disc.Listen(net.Addr(1, 0, 9400))
	return workers, err
}

// demoCalls sends calls for demoTime and prints running totals of their results.
func demoCalls(ctx context.Context, out io.Writer, clients *Clients) {
	sending, stop := context.WithTimeout(ctx, demoTime)
	defer stop()
	ended := make(chan struct{})
	go func() { defer close(ended); clients.Run(sending) }()
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-ticker.C:
		}
		served, refused, failed := tally(clients.Calls())
		fmt.Fprintf(out, "\r  served %5d   refused %4d   failed %4d", served, refused, failed)
	}
	calls := clients.Calls()
	served, refused, failed := tally(calls)
	var sum time.Duration
	for _, call := range calls {
		sum += call.Ended.Sub(call.Intended)
	}
	fmt.Fprintf(out, "\n%d calls: %d served, %d refused, %d failed; %v each on the mean\n", len(calls), served,
		refused, failed,
		(sum / time.Duration(max(1, len(calls)))).Round(100*time.Microsecond))
}

// tally counts calls by their results.
func tally(calls []*Call) (served, refused, failed int) {
	for _, call := range calls {
		switch last := call.Attempts[len(call.Attempts)-1]; {
		case call.Served:
			served++
		case last.Status == http.StatusServiceUnavailable:
			refused++
		default:
			failed++
		}
	}
	return served, refused, failed
}
