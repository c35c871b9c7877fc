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

// maxNesting bounds how deep lists and objects nest. A set needs four.
const maxNesting = 32

// parse returns the body of a text's only document, or what is wrong with
// the text. A nil body is an empty text.
func parse(text []byte) (ast.Node, *Fault) {
	if len(text) > MaxTextBytes {
		return nil, &Fault{Text: fmt.Sprintf("the set has %d bytes, above the limit of %d", len(text), MaxTextBytes)}
	}
	var body ast.Node
	var fault *Fault
	// The library panics on some broken texts.
	var c panics.Catcher
	c.Try(func() { body, fault = parseTokens(lexer.Tokenize(string(text))) })
	if c.Recovered() != nil {
		return nil, &Fault{Text: "the text is not YAML"}
	}
	return body, fault
}

func parseTokens(tokens token.Tokens) (ast.Node, *Fault) {
	if fault := guard(tokens); fault != nil {
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
			return nil, &Fault{Line: line(d.Body), Text: "a second document; a set is one document"}
		}
		body = d.Body
	}
	return body, nil
}

func syntaxFault(err error) *Fault {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		return &Fault{Line: at.GetToken().Position.Line, Text: at.GetMessage()}
	}
	return &Fault{Text: err.Error()}
}

// guard refuses texts that would make the parser recurse deeply, and the
// parts of YAML that a set has no use for.
func guard(tokens token.Tokens) *Fault {
	flow, row, inRow := 0, 0, 0
	for _, t := range tokens {
		at := t.Position.Line
		if at != row {
			row, inRow = at, 0
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return &Fault{Line: at, Text: "anchors and aliases are not allowed"}
		case token.TagType:
			return &Fault{Line: at, Text: "tags are not allowed"}
		case token.SequenceStartType, token.MappingStartType:
			flow++
		case token.SequenceEndType, token.MappingEndType:
			flow--
		case token.SequenceEntryType, token.MappingKeyType:
			inRow++
		case token.InvalidType:
			return &Fault{Line: at, Text: "the text is not YAML: " + t.Error}
		}
		if flow > maxNesting || inRow > maxNesting || t.Position.IndentNum > maxNesting*maxIndent {
			return &Fault{Line: at, Text: fmt.Sprintf("nested more than %d deep", maxNesting)}
		}
	}
	return nil
}

// maxIndent is how many spaces one level may be indented by.
const maxIndent = 8

func line(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}
