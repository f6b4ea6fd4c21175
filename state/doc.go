// Package state is the layer that stores what must survive a restart. Its
// subpackages are disk (the files of a data folder), wal (the write-ahead log and
// snapshots), replica (which drives consensus, the log and a state machine) and
// cachefile (a small file whose content may be lost).
package state
