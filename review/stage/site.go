package stage

import "time"

// Plan says what a deployment consists of.
type Plan struct {
	Settings map[string]any
	Zones    []string
	Workers  int
	Work     time.Duration // of a call
	Notify   string        // class whose settlements are notified; empty: the webhook front is off
	Console  bool
}

// Site is a deployment: a dispatcher's files and all that is around it.
type Site struct {
	Config   *Config
	Workers  []*Worker
	Receiver *Receiver
	Webhooks string // address of the webhook front

	stage        *Stage
	operatorFile string
}

// Lay starts the stand-ins of a deployment and writes its files.
func (s *Stage) Lay(plan Plan) (site *Site, err error) {
	site = &Site{stage: s, Webhooks: s.Addr()}
	if site.Workers, err = s.startWorkers(plan.Workers, plan.Zones, plan.Work); err != nil {
		return nil, err
	}
	if site.Receiver, err = s.startReceiver(); err != nil {
		return nil, err
	}
	channel, err := s.startDiscovery()
	if err != nil {
		return nil, err
	}
	site.Config = &Config{Listen: s.Addr(), Channel: channel, Settings: plan.Settings, Workers: site.Workers}
	if plan.Console {
		site.Config.Console = s.Addr()
	}
	if plan.Notify != "" {
		site.operatorFile, err = s.operatorFile(site.Webhooks, plan.Notify, site.Receiver)
	}
	return site, err
}

// WriteConfig writes the configuration file of the platform as it stands in Config.
func (s *Site) WriteConfig(name string) (path string, err error) {
	return s.stage.Write(name+".json", s.Config.JSON())
}

// Start writes a configuration file, starts a dispatcher with it and waits until it is ready.
func (s *Site) Start(name string) (*Dispatcher, error) {
	path, err := s.WriteConfig(name)
	if err != nil {
		return nil, err
	}
	dispatcher, err := s.stage.start(name, path, s.operatorFile)
	if err != nil {
		return nil, err
	}
	ready := "http://" + s.Config.Listen + "/ping"
	if s.Config.Console != "" {
		ready = "http://" + s.Config.Console + "/control/ready"
	}
	return dispatcher, dispatcher.awaitYes(ready, 10*time.Second)
}
