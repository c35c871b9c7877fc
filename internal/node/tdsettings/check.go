package tdsettings

import (
	"errors"
	"net/netip"
	"net/url"
	"os"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Check returns a *SettingsError that names every setting that is missing
// or wrong on its own.
func (s *Settings) Check() error {
	faults := checkEnvironment(s.source.flags, os.Environ())
	wrong := func(path string, err error) {
		if err != nil {
			faults = append(faults, s.source.wrong(path, err))
		}
	}
	wrong("name", given(s.Name))
	wrong("dataCentre", given(s.DataCentre))
	wrong("platform.url", checkURL(s.PlatformURL))
	wrong("listen.callers", checkAddr(s.ListenCallers))
	wrong("listen.peers", checkAddr(s.ListenPeers))
	wrong("listen.operators", checkAddr(s.ListenOperators))
	if s.AdvertisePeers != "" {
		wrong("advertise.peers", checkAddr(s.AdvertisePeers))
	}
	_, err := zerolog.ParseLevel(s.LogLevel)
	wrong("log.level", err)
	if (s.OperatorCert == "") != (s.OperatorKey == "") {
		wrong("operator.cert", eris.New("it and operator.key must be given together"))
	}
	tokens, err := s.Tokens()
	var one *SettingError
	switch {
	case errors.As(err, &one):
		faults = append(faults, one)
	case len(tokens) == 0:
		wrong("operator.tokenFile", eris.New("it must be given, or operator.tokens or operator.token in its place"))
	}
	s.Entry.check(wrong)
	if len(faults) > 0 {
		return &SettingsError{Faults: faults}
	}
	return nil
}

func given(v string) error {
	if v == "" {
		return eris.New("it must be given")
	}
	return nil
}

func checkURL(v string) error {
	if v == "" {
		return given(v)
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return eris.Errorf("expected a URL such as http://10.0.0.5:2379, found %q", v)
	}
	return nil
}

func checkAddr(v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return eris.Errorf("expected an address and port such as 10.0.0.5:8080, found %q", v)
	}
	return nil
}
