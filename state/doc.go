// Package state is the layer of what must survive a restart. Its subpackages
// are disk (files of one data folder), wal (the write-ahead log and snapshots)
// and replica (the driver that joins the log, consensus and a state machine).
package state
