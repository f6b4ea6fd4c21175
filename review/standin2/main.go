package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// cases are the cases by their names. Each returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"slow-answers": slowAnswers,
	"half-closed":  halfClosed,
	"slow-readers": slowReaders,
	"revoked":      revoked,
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// write adds a line.
func (r *record) write(kind string, fields any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := json.Marshal(fields)
	if err != nil {
		text = []byte(err.Error())
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f %s %s\n", time.Since(r.began).Seconds(), kind, text)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, began: time.Now()}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.write("could-not-run", err.Error())
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
	r.write("verdict", map[string]bool{"broken": broken})
	_ = file.Close()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
