package intake

import "time"

// Estimates of processor time.
const (
	// connectionCost is the time to take and end a connection, requestCost that to refuse a request,
	// and lineCost that to read and pass on a line of its head.
	connectionCost = 150 * time.Microsecond
	requestCost    = 80 * time.Microsecond
	lineCost       = 4 * time.Microsecond
	// readCost is the time to read what has come on a connection, and kilobyteCost that for each
	// kilobyte. chunkLineCost is that for each line in a body, as a chunk has two.
	readCost      = 8 * time.Microsecond
	kilobyteCost  = 5 * time.Microsecond
	chunkLineCost = 60 * time.Nanosecond
)

const (
	// workShare is the share of the processor for what isn't served.
	workShare = 0.1
	// workBurst is how much of it may be used at once.
	workBurst = 40 * time.Millisecond
	// servedCredit is how much of its cost is forgiven to a request that is served, and kilobyteCredit
	// how much for each kilobyte of its body. The cost of an ordinary request is below that, and that
	// of a large body that comes in large pieces.
	servedCredit   = time.Millisecond
	kilobyteCredit = 8 * time.Microsecond
	// quantum is how much a connection may use before it waits, and firstQuantum that of one on which
	// no request was served yet.
	quantum      = 2 * time.Millisecond
	firstQuantum = quantum / 4
	// maxPause bounds how long a connection waits at once.
	maxPause = 10 * time.Second
)

// Work divides the processor time for reading and refusing requests among connections. What a request
// costs is given back once it is served.
type Work struct {
	// rate is the processor time per second that may be used.
	rate float64
	// level is how much of it is left, less than 0 if too much was used, as of the time at.
	level time.Duration
	at    time.Duration
	// pausing is how many connections wait.
	pausing int
}

// Worker is the account of one connection.
type Worker struct {
	owed time.Duration
	// body is how many bytes of its request's body have come.
	body   int
	served bool
}

// NewWork returns a budget for a VM that has a share of a processor.
func NewWork(processor float64) *Work {
	return &Work{rate: workShare * processor, level: workBurst}
}

// ReadHead charges a connection for a part of a head, with the lines in it. It returns how long to
// wait before that is handled.
func (w *Work) ReadHead(now time.Duration, c *Worker, bytes, lines int) time.Duration {
	return w.charge(now, c, readCost+kilobytes(bytes, kilobyteCost)+time.Duration(lines)*lineCost)
}

// ReadBody charges a connection for a part of a body, with the lines in it. It returns how long to
// wait before that is handled.
func (w *Work) ReadBody(now time.Duration, c *Worker, bytes, lines int) time.Duration {
	c.body += bytes
	return w.charge(now, c, readCost+kilobytes(bytes, kilobyteCost)+time.Duration(lines)*chunkLineCost)
}

// kilobytes returns the time for a number of bytes.
func kilobytes(bytes int, perKilobyte time.Duration) time.Duration {
	return time.Duration(bytes) * perKilobyte / 1024
}

// Connection charges a new connection.
func (w *Work) Connection(now time.Duration, c *Worker) {
	w.spend(now, c, connectionCost)
}

// Request charges a connection for a request. It returns how long to wait before it is handled.
func (w *Work) Request(now time.Duration, c *Worker) time.Duration {
	return w.charge(now, c, requestCost)
}

// Served says that a request of a connection was served.
func (w *Work) Served(c *Worker) {
	credit := min(c.owed, servedCredit+kilobytes(c.body, kilobyteCredit))
	c.owed -= credit
	c.body = 0
	c.served = true
	w.level = min(w.level+credit, workBurst)
}

// spend adds a cost.
func (w *Work) spend(now time.Duration, c *Worker, cost time.Duration) {
	earned := time.Duration(w.rate * float64(now-w.at))
	w.at = now
	w.level = max(min(w.level+earned, workBurst)-cost, -workBurst)
	c.owed += cost
}

// charge adds a cost. While more was used than the budget has, a connection that owes more than its
// quantum waits until it would have paid that, at its part of the rate. If it waits, Resume must be called.
func (w *Work) charge(now time.Duration, c *Worker, cost time.Duration) time.Duration {
	w.spend(now, c, cost)
	if w.level >= 0 || c.owed <= c.quantum() {
		return 0
	}
	w.pausing++
	return min(time.Duration(float64(c.owed)*float64(w.pausing)/w.rate), maxPause)
}

func (c *Worker) quantum() time.Duration {
	if c.served {
		return quantum
	}
	return firstQuantum
}

// Resume ends a wait.
func (w *Work) Resume(c *Worker) {
	w.pausing--
	c.owed = 0
}
