package main

import "runtime"

// lockThread keeps a goroutine on its thread until it ends.
func lockThread() { runtime.LockOSThread() }
