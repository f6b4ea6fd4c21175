package orders

// Settings of the journal. They are part of the replicated state and change by
// a command: voters that ran with different ones, as in a rolling change of
// their files, would refuse and forget different orders.
type Settings struct {
	// RetentionMS is how long an order is remembered, in milliseconds.
	RetentionMS int64 `msgpack:"r"`
	// MaxBytes bounds the memory of all records.
	MaxBytes int `msgpack:"b"`
	// MaxAnswer bounds the bytes kept of one answer's body.
	MaxAnswer int `msgpack:"a"`
}

// Limits of settings: a minute to 30 days, and memory that a VM can have.
const (
	minRetention = 60 * 1000
	maxRetention = 30 * 24 * 3600 * 1000
	maxMemory    = 16 << 30
	maxBody      = 1 << 20
)

// Valid reports whether the settings are within their limits.
func (s Settings) Valid() bool {
	return s.RetentionMS >= minRetention && s.RetentionMS <= maxRetention &&
		s.MaxBytes > 0 && s.MaxBytes <= maxMemory &&
		s.MaxAnswer >= 0 && s.MaxAnswer <= maxBody
}

// Configure replaces the settings. Records keep the answers they have.
func (j *Journal) Configure(settings Settings) Result {
	if !settings.Valid() {
		return Result{Outcome: Malformed}
	}
	j.settings = settings
	return Result{Outcome: Applied}
}

// Settings returns the settings in force.
func (j *Journal) Settings() Settings { return j.settings }

// DefaultSettings remember orders for a day within 64 MB.
func DefaultSettings() Settings {
	return Settings{RetentionMS: 24 * 3600 * 1000, MaxBytes: 64 << 20, MaxAnswer: 4 << 10}
}
