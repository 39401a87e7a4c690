package layout

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// Section returns the deployment's configuration section, with every service on
// VersionOld and without a move.
func (s Shape) Section() config.Section {
	const (
		slots, connections, queue = 9, 130, 18
		timeoutMS, attemptMS      = 2000, 800
		slowMS                    = 100
	)
	section := config.Section{Name: s.Name, Team: s.Name, Routes: s.Routes}
	for _, service := range s.Services {
		section.Services = append(section.Services, config.Service{
			Name: service.Name, Version: VersionOld,
			Limits:    config.Limits{Slots: slots, Connections: connections, Queue: queue},
			Retry:     config.Retry{Ratio: 0.1, Cap: 100, BaseMS: 200, MaxWaitMS: 2000},
			TimeoutMS: timeoutMS, AttemptTimeoutMS: attemptMS, SlowMS: slowMS,
		})
	}
	return section
}

// Move returns the section with a move to VersionNew of the service that has NewServers,
// and the id of the move. At most one service may have NewServers; without one, there is no
// move and the id is empty.
func (s Shape) Move(finishBy time.Time) (section config.Section, id string) {
	section = s.Section()
	for i, service := range s.Services {
		if service.NewServers > 0 {
			id = service.Name + "-to-" + VersionNew
			section.Services[i].Move = &config.Move{ID: id, To: VersionNew, FinishBy: finishBy}
		}
	}
	return section, id
}
