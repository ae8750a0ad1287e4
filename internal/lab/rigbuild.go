package lab

import (
	"fmt"
	"time"
)

// The groups of addresses of a rig, counted from the first group of the rig.
const (
	groupWorkers = iota
	groupNodes
	groupLinks
	rigGroups
)

// The ports within a rig. Each group has its own addresses, so that groups may share a port.
const (
	portWorker     = 9100
	portClients    = 9200 // on which a dispatcher listens for clients
	portPeers      = 9300 // on which a dispatcher listens for datagrams
	portChannel    = 9400 // of Discovery's listener for one dispatcher, and of the link to it
	portWorkerLink = 9500 // the first of the links from one dispatcher to the workers
	portPeerLink   = 9600 // the first of the links from one dispatcher to its peers
)

// addr returns address i of a group of this rig, with the given port.
func (r *Rig) addr(group, i, port int) string {
	return r.Net.Addr(r.AddrGroup*rigGroups+group, i, port)
}

// build starts the workers, opens all links and writes the files of the dispatchers.
func (r *Rig) build() error {
	if err := r.startWorkers(r.RigConfig.Workers, time.Now().Add(-time.Hour)); err != nil {
		return err
	}
	if err := r.buildWorkerLinks(); err != nil {
		return err
	}
	r.Discovery.Publish(r.Listed...)
	if err := r.buildPeerNetwork(); err != nil {
		return err
	}
	for n := range r.Dispatchers {
		if err := r.buildDispatcher(n); err != nil {
			return err
		}
	}
	return nil
}

// buildWorkerLinks opens a link from each dispatcher to each worker, including those that join
// later. All links of one dispatcher have the same IP address.
func (r *Rig) buildWorkerLinks() error {
	all := r.RigConfig.Workers + r.LaterWorkers
	number := map[string]int{}
	for i := range all {
		number[workerName(i)] = i
	}
	r.Links.Workers = make([][]*Relay, r.Dispatchers)
	for n := range r.Dispatchers {
		for i := range all {
			from, to := r.addr(groupLinks, n, portWorkerLink+i), r.addr(groupWorkers, i, portWorker)
			link, err := StartRelay(from, to)
			if err != nil {
				return err
			}
			r.Links.Workers[n] = append(r.Links.Workers[n], link)
		}
	}
	r.Discovery.Route = func(n int, entry ListEntry) string {
		if i, ok := number[entry.ID]; ok {
			return r.Links.Workers[n][i].Addr
		}
		return entry.Addr
	}
	return nil
}

// buildPeerNetwork opens the peer network, which carries the datagrams between dispatchers.
func (r *Rig) buildPeerNetwork() (err error) {
	var listens []string
	for n := range r.Dispatchers {
		listens = append(listens, r.addr(groupNodes, n, portPeers))
	}
	addr := func(i, j int) string { return r.addr(groupNodes, i, portPeerLink+j) }
	r.PeerNetwork, err = StartPeerNetwork(r.Dispatchers, addr, listens, r.Seed)
	return err
}

// buildDispatcher opens the command channel of dispatcher n, writes its files and creates its
// clients.
func (r *Rig) buildDispatcher(n int) error {
	if _, err := r.Discovery.Listen(r.addr(groupNodes, n, portChannel)); err != nil {
		return err
	}
	link, err := StartRelay(r.addr(groupLinks, n, portChannel), r.Discovery.Addr(n))
	if err != nil {
		return err
	}
	r.Links.Channels = append(r.Links.Channels, link)
	level := "info"
	if r.Debug {
		level = "debug"
	}
	dispatcher, err := WriteDispatcherFiles(DispatcherFiles{
		Dir: r.dir, N: n, Addr: r.addr(groupNodes, n, portClients), Settings: r.settings(n),
		Peers:   r.PeerNetwork.Peers(n),
		Channel: link.Addr, OperatorConfig: fmt.Sprintf("[log]\nlevel = %q\n%s", level, r.OperatorConfig),
	})
	if err != nil {
		return err
	}
	dispatcher.Program = r.Program
	r.Nodes = append(r.Nodes, dispatcher)
	r.Clients = append(r.Clients, r.newClients(n, dispatcher.Addr))
	return nil
}

// settings returns the platform's settings for dispatcher n.
func (r *Rig) settings(n int) map[string]any {
	settings := r.Figures.Settings(n, r.Dispatchers)
	var zones []string
	for z := range r.Zones {
		zones = append(zones, zoneName(z))
	}
	settings["zone"], settings["zones"] = n%r.Zones, zones
	if r.Settings != nil {
		r.Settings(n, settings)
	}
	return settings
}

// newClients returns the clients of dispatcher n, which listens at addr.
func (r *Rig) newClients(n int, addr string) *Clients {
	load := r.Load
	load.Seed = r.Seed
	if r.Rate != nil {
		load.Rate = r.Rate(n)
	}
	clients := NewClients(r.Figures, n, addr, load)
	if r.Tenant != nil {
		clients.Tenant = func(seq int) string { return r.Tenant(n, seq) }
	}
	return clients
}

// startWorkers starts n more workers, with start as their start time. It does not publish them.
func (r *Rig) startWorkers(n int, start time.Time) error {
	for range n {
		i := len(r.Workers)
		worker, err := StartStubWorker(workerName(i), r.addr(groupWorkers, i, portWorker), r.Figures, start)
		if err != nil {
			return err
		}
		r.Workers = append(r.Workers, worker)
		entry := listing(worker, i, start)
		entry.Zone = zoneName(i % r.Zones)
		r.Listed = append(r.Listed, entry)
	}
	return nil
}

func workerName(i int) string { return fmt.Sprintf("s-%08x", 0x100+i*7919) }

func zoneName(z int) string { return fmt.Sprintf("room-%d", z) }
