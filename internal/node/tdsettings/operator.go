package tdsettings

import (
	"flag"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// minTokenBytes bounds an operator's token from below.
const minTokenBytes = 16

// sharedName is who acts with a token that names nobody.
const sharedName = "operator"

// Operator are the settings of the operators' side.
type Operator struct {
	OperatorTokenFile string
	OperatorTokens    string
	OperatorCert      string
	OperatorKey       string
}

func (s *Operator) register(fs *flag.FlagSet) {
	fs.StringVar(&s.OperatorTokenFile, "operator.tokenFile", "", "file that holds the token that operators' calls carry")
	fs.StringVar(&s.OperatorCert, "operator.cert", "", "certificate file for the operators' address; without one it speaks plain HTTP")
	fs.StringVar(&s.OperatorKey, "operator.key", "", "key file for the operators' address")
	fs.StringVar(&s.OperatorTokens, "operator.tokens", "", "YAML file with a line \"name: token\" for each operator")
}

// Token is what one operator's calls carry.
type Token struct {
	Name string // Who it is, for the history.
	Text string
}

// Tokens returns the tokens of all operators, from the settings and the
// files they name.
func (s *Settings) Tokens() ([]Token, error) {
	var out []Token
	if s.OperatorToken != "" {
		out = append(out, Token{Name: sharedName, Text: s.OperatorToken})
	}
	if s.OperatorTokenFile != "" {
		text, err := os.ReadFile(s.OperatorTokenFile)
		if err != nil {
			return nil, s.source.wrong("operator.tokenFile", err)
		}
		out = append(out, Token{Name: sharedName, Text: strings.TrimSpace(string(text))})
	}
	if s.OperatorTokens != "" {
		named, err := readTokens(s.OperatorTokens)
		if err != nil {
			return nil, s.source.wrong("operator.tokens", err)
		}
		out = append(out, named...)
	}
	for _, t := range out {
		if len(t.Text) < minTokenBytes {
			return nil, s.source.wrong("operator.token", eris.Errorf("the token of %s is shorter than %d bytes", t.Name, minTokenBytes))
		}
	}
	return out, nil
}

func readTokens(file string) ([]Token, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	byName := make(map[string]string)
	if err := yaml.Unmarshal(text, &byName); err != nil {
		// The library's message would show the line, token and all.
		return nil, eris.Errorf("%s: expected lines \"name: token\"", file)
	}
	if len(byName) == 0 {
		return nil, eris.Errorf("%s: no token in it", file)
	}
	out := make([]Token, 0, len(byName))
	for name, t := range byName {
		out = append(out, Token{Name: name, Text: t})
	}
	slices.SortFunc(out, func(a, b Token) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}
