// Package tdreport renders the report on service-level burn as text, as
// JSON, and as one HTML page that needs nothing from outside.
//
// # Usage
//
//	err := tdreport.Write(os.Stdout, tdreport.FormatHTML, report)
package tdreport
