/**
 * Time after which an instance counts as silent, and its share as its own. Tolerates the loss of
 * several messages.
 */
export const SILENCE_MILLISECONDS = 1000;

/**
 * Time for which the use of a silent instance is still counted. The loss of several messages in a row
 * must not make others believe that its part of the bucket is empty.
 */
export const REPORT_LIFETIME_MILLISECONDS = 3000;
