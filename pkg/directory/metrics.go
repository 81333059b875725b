package directory

import "github.com/VictoriaMetrics/metrics"

// The versions of the state and the time in seconds since the store confirmed them. The age is -1 if the store never has.
var (
	configVersionGauge = metrics.NewGauge(`hornbeamway_directory_config_version`, nil)
	configNextGauge    = metrics.NewGauge(`hornbeamway_directory_next_offset{topic="configuration"}`, nil)
	serversNextGauge   = metrics.NewGauge(`hornbeamway_directory_next_offset{topic="servers"}`, nil)
	stateAgeGauge      = metrics.NewGauge(`hornbeamway_directory_age_seconds`, nil)
)

// UpdateMetrics sets the gauges of the state.
func (s *State) UpdateMetrics() {
	d := s.Digest()
	configVersionGauge.Set(float64(d.ConfigVersion))
	configNextGauge.Set(float64(d.ConfigNext))
	serversNextGauge.Set(float64(d.ServersNext))
	age := -1.0
	if d.AgeMillis >= 0 {
		age = float64(d.AgeMillis) / 1000
	}
	stateAgeGauge.Set(age)
}
