package tdsettings

import (
	"errors"
	"net/netip"
	"net/url"
	"os"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Check validates the settings. It returns a *SettingsError that names every
// missing or invalid setting.
func (s *Settings) Check() error {
	errs := checkEnvironment(s.source.flags, os.Environ())
	addError := func(path string, err error) {
		if err != nil {
			errs = append(errs, s.source.newError(path, err))
		}
	}
	addError("name", checkGiven(s.Name))
	addError("dataCentre", checkGiven(s.DataCentre))
	addError("platform.url", checkURL(s.PlatformURL))
	addError("listen.callers", checkAddr(s.ListenCallers))
	addError("listen.peers", checkAddr(s.ListenPeers))
	addError("listen.operators", checkAddr(s.ListenOperators))
	if s.AdvertisePeers != "" {
		addError("advertise.peers", checkAddr(s.AdvertisePeers))
	}
	_, err := zerolog.ParseLevel(s.LogLevel)
	addError("log.level", err)
	if (s.OperatorCert == "") != (s.OperatorKey == "") {
		addError("operator.cert", eris.New("must be set together with operator.key"))
	}
	tokens, err := s.Tokens()
	var settingErr *SettingError
	switch {
	case errors.As(err, &settingErr):
		errs = append(errs, settingErr)
	case len(tokens) == 0:
		addError("operator.tokenFile", eris.New("required unless operator.tokens or operator.token is set"))
	}
	s.Entry.check(addError)
	if len(errs) > 0 {
		return &SettingsError{Errors: errs}
	}
	return nil
}

// checkGiven returns an error when a required setting is empty.
func checkGiven(v string) error {
	if v == "" {
		return eris.New("required")
	}
	return nil
}

func checkURL(v string) error {
	if v == "" {
		return checkGiven(v)
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
