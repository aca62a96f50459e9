package commander

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/conductor"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/validator"
)

type sidecarArguments struct {
	Settings string `arg:"--settings,required,env:GENTIANLEVER_CONFIG" help:"settings of the sidecar, in JSON"`
}

// settingsCheckInterval is the interval at which the settings file is checked for changes. It is
// polled because it may change without a SIGHUP.
const settingsCheckInterval = 2 * time.Second

// sidecar runs a node that serves a routing table until the process receives SIGTERM or SIGINT.
// SIGHUP reloads the settings.
func (c *Commander) sidecar(args *sidecarArguments) error {
	data, err := os.ReadFile(args.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	s, err := validator.ParseSidecar(args.Settings, data)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var level slog.LevelVar
	level.Set(s.LogLevel)
	logRecorder := recorder.Recorder{
		Out:   c.Stdout,
		Level: &level,
	}
	reload := make(chan *validator.SidecarSettings, 1)
	n := conductor.Conductor{
		Settings: s,
		Log:      logRecorder.Logger(),
		Dropped:  logRecorder.Dropped,
		Reload:   reload,
	}
	w := settingsWatcher{
		file:    args.Settings,
		data:    data,
		hangups: hangups,
		level:   &level,
		reload:  reload,
		log:     n.Log,
	}
	background, cancel := context.WithCancel(context.Background())
	p := pool.New().WithContext(background)
	p.Go(logRecorder.Run)
	p.Go(w.run)
	err = n.Run(ctx)
	if err != nil {
		n.Log.Error(recorder.NodeFailed, "error", err.Error())
	}
	cancel()
	_ = p.Wait() // neither function returns an error
	return err
}

// settingsWatcher reloads the settings file when it changes.
type settingsWatcher struct {
	file    string
	data    []byte // content when it was last read
	hangups <-chan os.Signal
	level   *slog.LevelVar
	reload  chan<- *validator.SidecarSettings
	log     *slog.Logger
}

func (w *settingsWatcher) run(ctx context.Context) error {
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.hangups:
			w.log.Info(recorder.HangupReceived)
		case <-tick.C:
		}
		w.reloadIfChanged()
	}
}

// reloadIfChanged passes changed settings to the node. Faulty settings are logged and ignored.
func (w *settingsWatcher) reloadIfChanged() {
	data, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Error(recorder.SettingsUnreadable, "file", w.file, "error", err.Error())
		return
	}
	if bytes.Equal(data, w.data) {
		return
	}
	w.data = data
	s, err := validator.ParseSidecar(w.file, data)
	if err != nil {
		w.log.Error(recorder.SettingsFaulty, "file", w.file, "error", err.Error())
		return
	}
	w.level.Set(s.LogLevel)
	select {
	case w.reload <- s:
	default:
		// The channel still holds earlier settings, because the node does not run yet or has
		// stopped.
		w.log.Warn(recorder.SettingsNotTaken, "file", w.file)
	}
}
