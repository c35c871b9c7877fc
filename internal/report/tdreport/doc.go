// Package tdreport renders the report of package tdburn on error budgets and
// burn rates as text, as JSON or as a self-contained HTML page.
//
// # Usage
//
//	err := tdreport.Write(os.Stdout, tdreport.FormatHTML, report)
package tdreport
