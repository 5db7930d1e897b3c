// Tests that need a machine to themselves: crowds of clients against processes of the system, one after another.
export default {
  files: ['platform/dist/__crowds__/**/*.test.js'],
  timeout: '240s',
  concurrency: 1
}
