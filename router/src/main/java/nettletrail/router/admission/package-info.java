/**
 * Admission of requests at one door: the queue of a service with fair scheduling among tenants
 * ({@link nettletrail.router.admission.AdmissionQueue}, {@link
 * nettletrail.router.admission.VirtualCounters}) and load shedding above a tenant's rate ({@link
 * nettletrail.router.admission.AdmissionController}).
 *
 * <p>All classes are deterministic: they do no I/O, read no clock and draw only from a seeded
 * generator. Instants are nanoseconds of the steady clock, given by the caller as {@code now}. Not
 * thread-safe: each instance belongs to the router's event loop.
 */
package nettletrail.router.admission;
