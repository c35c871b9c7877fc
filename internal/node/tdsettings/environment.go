package tdsettings

import (
	"flag"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// otherVariables are read by the operators' commands, not by a node.
var otherVariables = []string{"NODE", "TOKEN", "TOKENFILE", "CA", "ENTRY"}

// testPrefix starts the names of variables that are for tests.
const testPrefix = "TEST_"

// checkEnvironment returns a fault for each variable that looks like a
// setting and is none.
func checkEnvironment(fs *flag.FlagSet, environ []string) []*SettingError {
	if fs == nil {
		return nil
	}
	known := slices.Clone(otherVariables)
	fs.VisitAll(func(f *flag.Flag) { known = append(known, variable(f.Name)) })
	var faults []*SettingError
	for _, entry := range environ {
		full, _, _ := strings.Cut(entry, "=")
		name, ours := strings.CutPrefix(full, EnvPrefix+"_")
		if ours && !strings.HasPrefix(name, testPrefix) && !slices.Contains(known, name) {
			faults = append(faults, &SettingError{Path: full, Err: eris.New("no setting has this variable")})
		}
	}
	return faults
}

// variable returns the environment variable of a setting, without its
// prefix.
func variable(setting string) string {
	return strings.ToUpper(strings.NewReplacer("-", "_", ".", "_", "/", "_").Replace(setting))
}
