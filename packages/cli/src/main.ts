/**
 * The program.
 */

console.log('flamingorouter')
