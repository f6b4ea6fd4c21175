package orders

// Settings are the journal's settings. They are part of the replicated state
// and change by a command. If each voter took them from its own file, voters
// would run with different settings while operators change file after file, and
// would refuse and remove different orders.
type Settings struct {
	// RetentionMS is how long a record is kept after its reservation, in
	// milliseconds.
	RetentionMS int64 `msgpack:"r"`
	// MaxBytes bounds the memory of all records, as counted by Journal.Bytes.
	MaxBytes int `msgpack:"b"`
	// MaxAnswer bounds the bytes kept of one answer's body.
	MaxAnswer int `msgpack:"a"`
}

// Limits of the settings. Retention is between a minute and 30 days, and the
// journal fits into the memory of a VM.
const (
	minRetentionMS  = 60 * 1000
	maxRetentionMS  = 30 * 24 * 3600 * 1000
	maxJournalBytes = 16 << 30
	maxAnswerBytes  = 1 << 20
)

// Valid reports whether the settings are within their limits.
func (s Settings) Valid() bool {
	return s.RetentionMS >= minRetentionMS && s.RetentionMS <= maxRetentionMS &&
		s.MaxBytes > 0 && s.MaxBytes <= maxJournalBytes &&
		s.MaxAnswer >= 0 && s.MaxAnswer <= maxAnswerBytes
}

// Configure replaces the settings. Existing records keep their answers.
func (j *Journal) Configure(settings Settings) Result {
	if !settings.Valid() {
		return Result{Outcome: Malformed}
	}
	j.settings = settings
	return Result{Outcome: Applied}
}

// Settings returns the current settings.
func (j *Journal) Settings() Settings { return j.settings }

// DefaultSettings returns settings that keep orders for a day within 64 MB.
func DefaultSettings() Settings {
	return Settings{RetentionMS: 24 * 3600 * 1000, MaxBytes: 64 << 20, MaxAnswer: 4 << 10}
}
