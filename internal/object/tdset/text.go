package tdset

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/sourcegraph/conc/panics"
)

// maxNesting is the maximum nesting depth of lists and objects. A set needs four
// levels.
const maxNesting = 32

// parse parses a text with at most one YAML document and returns its body, or a
// fault. The body of an empty text is nil.
func parse(text []byte) (ast.Node, *Fault) {
	if len(text) > MaxTextBytes {
		return nil, &Fault{Text: fmt.Sprintf("the set has %d bytes, above the limit of %d", len(text), MaxTextBytes)}
	}
	var body ast.Node
	var fault *Fault
	// The YAML library panics on some malformed texts.
	var c panics.Catcher
	c.Try(func() { body, fault = parseTokens(lexer.Tokenize(string(text))) })
	if c.Recovered() != nil {
		return nil, &Fault{Text: "the text is not YAML"}
	}
	return body, fault
}

func parseTokens(tokens token.Tokens) (ast.Node, *Fault) {
	if fault := checkTokens(tokens); fault != nil {
		return nil, fault
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxFault(err)
	}
	var body ast.Node
	for _, d := range file.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, &Fault{Line: lineOf(d.Body), Text: "a second document; a set is one document"}
		}
		body = d.Body
	}
	return body, nil
}

// syntaxFault converts an error of the parser to a fault.
func syntaxFault(err error) *Fault {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		return &Fault{Line: syntax.GetToken().Position.Line, Text: syntax.GetMessage()}
	}
	return &Fault{Text: err.Error()}
}

// checkTokens refuses texts that would make the parser recurse deeply, and YAML
// features that sets do not need.
func checkTokens(tokens token.Tokens) *Fault {
	flowDepth, lastLine, entriesInLine := 0, 0, 0
	for _, t := range tokens {
		at := t.Position.Line
		if at != lastLine {
			lastLine, entriesInLine = at, 0
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return &Fault{Line: at, Text: "anchors and aliases are not allowed"}
		case token.TagType:
			return &Fault{Line: at, Text: "tags are not allowed"}
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
		case token.SequenceEntryType, token.MappingKeyType:
			entriesInLine++
		case token.InvalidType:
			return &Fault{Line: at, Text: "the text is not YAML: " + t.Error}
		}
		if flowDepth > maxNesting || entriesInLine > maxNesting || t.Position.IndentNum > maxNesting*maxIndentPerLevel {
			return &Fault{Line: at, Text: fmt.Sprintf("nested more than %d deep", maxNesting)}
		}
	}
	return nil
}

// maxIndentPerLevel is the maximum indentation of one nesting level, in spaces.
const maxIndentPerLevel = 8

// lineOf returns the line of a node, or zero if it is unknown.
func lineOf(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}
