export { LoadShedding } from './loadShedding.js'
export { ADMISSION_ORDER } from './order.js'
export type { WaitingOrder, WaitingStep } from './order.js'
