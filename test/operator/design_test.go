package operator_test

import (
	"os"
	"os/exec"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var mapForm = regexp.MustCompile("`(td[a-z]+)`")

var _ = Describe("the map of packages", func() {
	It("names every package once, and imports point up it", func() {
		text, err := os.ReadFile("../../docs/DESIGN.md")
		Expect(err).NotTo(HaveOccurred())
		_, after, found := strings.Cut(string(text), "## Map of packages")
		Expect(found).To(BeTrue())
		table, _, _ := strings.Cut(after, "\n## ")
		place := make(map[string]int)
		for _, line := range strings.Split(table, "\n") {
			first, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " | ")
			for _, m := range mapForm.FindAllStringSubmatch(first, -1) {
				Expect(place).NotTo(HaveKey(m[1]))
				place[m[1]] = len(place)
			}
		}
		out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "tarragondeal/internal/...").Output()
		Expect(err).NotTo(HaveOccurred())
		packages := strings.Split(strings.TrimSpace(string(out)), "\n")
		Expect(place).To(HaveLen(len(packages)))
		for _, line := range packages {
			words := strings.Fields(line)
			self := words[0][strings.LastIndexByte(words[0], '/')+1:]
			Expect(place).To(HaveKey(self))
			for _, path := range words[1:] {
				if strings.HasPrefix(path, "tarragondeal/internal/") {
					name := path[strings.LastIndexByte(path, '/')+1:]
					Expect(place[name]).To(BeNumerically("<", place[self]), self+" imports "+name)
				}
			}
		}
	})
})
