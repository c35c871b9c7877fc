package operator_test

import (
	"os"
	"os/exec"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var packagePattern = regexp.MustCompile("`(td[a-z]+)`")

var _ = Describe("the map of packages", func() {
	It("lists every package once, after the packages that it imports", func() {
		text, err := os.ReadFile("../../docs/DESIGN.md")
		Expect(err).NotTo(HaveOccurred())
		_, after, found := strings.Cut(string(text), "## Map of packages")
		Expect(found).To(BeTrue())
		table, _, _ := strings.Cut(after, "\n## ")
		position := make(map[string]int)
		for _, line := range strings.Split(table, "\n") {
			first, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " | ")
			for _, m := range packagePattern.FindAllStringSubmatch(first, -1) {
				Expect(position).NotTo(HaveKey(m[1]))
				position[m[1]] = len(position)
			}
		}
		out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "tarragondeal/internal/...").Output()
		Expect(err).NotTo(HaveOccurred())
		packages := strings.Split(strings.TrimSpace(string(out)), "\n")
		Expect(position).To(HaveLen(len(packages)))
		for _, line := range packages {
			words := strings.Fields(line)
			self := words[0][strings.LastIndexByte(words[0], '/')+1:]
			Expect(position).To(HaveKey(self))
			for _, path := range words[1:] {
				if strings.HasPrefix(path, "tarragondeal/internal/") {
					name := path[strings.LastIndexByte(path, '/')+1:]
					Expect(position[name]).To(BeNumerically("<", position[self]), self+" imports "+name)
				}
			}
		}
	})
})
