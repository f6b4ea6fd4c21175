package ratelimit

// usualSettings are those that a router has by default.
var usualSettings = Settings{Reserve: 0.05, Floor: 0.3}
