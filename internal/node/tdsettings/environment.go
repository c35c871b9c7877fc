package tdsettings

import (
	"flag"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// commandVariables are the variables, without the prefix, that the operators'
// commands read and a node does not.
var commandVariables = []string{"NODE", "TOKEN", "TOKENFILE", "CA", "ENTRY"}

// testVariablePrefix is the prefix of variables that only tests read.
const testVariablePrefix = "TEST_"

// checkEnvironment returns an error for each variable that has the prefix of
// the settings and belongs to none.
func checkEnvironment(fs *flag.FlagSet, environ []string) []*SettingError {
	if fs == nil {
		return nil
	}
	known := slices.Clone(commandVariables)
	fs.VisitAll(func(f *flag.Flag) { known = append(known, variableName(f.Name)) })
	var errs []*SettingError
	for _, entry := range environ {
		full, _, _ := strings.Cut(entry, "=")
		name, hasPrefix := strings.CutPrefix(full, EnvPrefix+"_")
		if hasPrefix && !strings.HasPrefix(name, testVariablePrefix) && !slices.Contains(known, name) {
			errs = append(errs, &SettingError{Path: full, Err: eris.New("no setting has this environment variable")})
		}
	}
	return errs
}

// variableName returns the name of the environment variable of a setting,
// without the prefix.
func variableName(setting string) string {
	return strings.ToUpper(strings.NewReplacer("-", "_", ".", "_", "/", "_").Replace(setting))
}
