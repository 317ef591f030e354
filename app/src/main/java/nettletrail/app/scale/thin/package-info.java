/**
 * Thin traffic in virtual time: many front doors with the real decision module each, before many backends that each
 * door sends to once in seconds or minutes. One thread, seeded, no socket and no clock.
 */
package nettletrail.app.scale.thin;
