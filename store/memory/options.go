package memory

// Option configures a Service.
type Option func(*Service)

// History limits the number and the bytes of the changes that are kept for watches to resume from.
func History(changes, valueBytes int) Option {
	return func(s *Service) { s.maxHistory, s.maxHistoryBytes = changes, valueBytes }
}
