/** Versions on disk: one file each, written aside, synced and renamed. */
package nettletrail.store;
