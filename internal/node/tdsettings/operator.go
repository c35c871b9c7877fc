package tdsettings

import (
	"flag"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// minTokenBytes is the minimum length of an operator's token.
const minTokenBytes = 16

// sharedTokenName is recorded for changes made with a token that has no name.
const sharedTokenName = "operator"

// Operator holds the settings of the operators' API.
type Operator struct {
	OperatorTokenFile string
	OperatorTokens    string
	OperatorCert      string
	OperatorKey       string
}

func (s *Operator) register(fs *flag.FlagSet) {
	fs.StringVar(&s.OperatorTokenFile, "operator.tokenFile", "", "file that holds the operators' shared token")
	fs.StringVar(&s.OperatorCert, "operator.cert", "", "certificate file for the operators' address; plain HTTP if empty")
	fs.StringVar(&s.OperatorKey, "operator.key", "", "key file for the operators' address")
	fs.StringVar(&s.OperatorTokens, "operator.tokens", "", "YAML file with a line \"name: token\" for each operator")
}

// Token authenticates the calls of an operator.
type Token struct {
	Name string // Name of the operator in the history.
	Text string
}

// Tokens returns the tokens of all operators, from the settings and from the
// files that they name.
func (s *Settings) Tokens() ([]Token, error) {
	var out []Token
	if s.OperatorToken != "" {
		out = append(out, Token{Name: sharedTokenName, Text: s.OperatorToken})
	}
	if s.OperatorTokenFile != "" {
		text, err := os.ReadFile(s.OperatorTokenFile)
		if err != nil {
			return nil, s.source.newError("operator.tokenFile", err)
		}
		out = append(out, Token{Name: sharedTokenName, Text: strings.TrimSpace(string(text))})
	}
	if s.OperatorTokens != "" {
		named, err := readTokens(s.OperatorTokens)
		if err != nil {
			return nil, s.source.newError("operator.tokens", err)
		}
		out = append(out, named...)
	}
	for _, t := range out {
		if len(t.Text) < minTokenBytes {
			return nil, s.source.newError("operator.token", eris.Errorf("the token of %s is shorter than %d bytes", t.Name, minTokenBytes))
		}
	}
	return out, nil
}

// readTokens reads the named tokens of a YAML file, sorted by name.
func readTokens(file string) ([]Token, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	byName := make(map[string]string)
	if err := yaml.Unmarshal(text, &byName); err != nil {
		// The library's message quotes the line, including the token.
		return nil, eris.Errorf("%s: expected lines \"name: token\"", file)
	}
	if len(byName) == 0 {
		return nil, eris.Errorf("%s: no tokens found", file)
	}
	out := make([]Token, 0, len(byName))
	for name, t := range byName {
		out = append(out, Token{Name: name, Text: t})
	}
	slices.SortFunc(out, func(a, b Token) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}
