package settings

import "reflect"

// NeedRestart returns the JSON names of the top-level fields that differ and that
// a running process can't apply without a restart. It can apply operators and
// log.level.
func NeedRestart(running, changed Settings) []string {
	running.Operators, changed.Operators = nil, nil
	running.Log.Level, changed.Log.Level = "", ""
	before, after := reflect.ValueOf(running), reflect.ValueOf(changed)
	var names []string
	for i := range before.NumField() {
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, before.Type().Field(i).Tag.Get("json"))
		}
	}
	return names
}
